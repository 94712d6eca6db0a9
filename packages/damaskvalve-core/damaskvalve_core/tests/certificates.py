"""Certificates for tests of the channel."""

import datetime

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

PEM = serialization.Encoding.PEM
NOT_BEFORE = datetime.datetime(2020, 1, 1, tzinfo=datetime.timezone.utc)
NOT_AFTER = datetime.datetime(2100, 1, 1, tzinfo=datetime.timezone.utc)


def common_name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def sign_certificate(subject, issuer, key, signing_key, *, is_authority):
    builder = x509.CertificateBuilder(
        issuer_name=common_name(issuer),
        subject_name=common_name(subject),
        public_key=key.public_key(),
        serial_number=x509.random_serial_number(),
        not_valid_before=NOT_BEFORE,
        not_valid_after=NOT_AFTER,
    )
    constraints = x509.BasicConstraints(ca=is_authority, path_length=None)
    builder = builder.add_extension(constraints, critical=True)
    return builder.sign(signing_key, hashes.SHA256())


def make_identities(folder, names):
    """Create an authority and one certificate with key for each name."""
    folder.mkdir()
    signing_key = ec.generate_private_key(ec.SECP256R1())
    authority_certificate = sign_certificate(
        "fleet", "fleet", signing_key, signing_key, is_authority=True
    )
    (folder / "authority.pem").write_bytes(authority_certificate.public_bytes(PEM))
    for name in names:
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = sign_certificate(
            name, "fleet", key, signing_key, is_authority=False
        )
        (folder / f"{name}.pem").write_bytes(certificate.public_bytes(PEM))
        private_key = key.private_bytes(
            PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        (folder / f"{name}.key").write_bytes(private_key)
