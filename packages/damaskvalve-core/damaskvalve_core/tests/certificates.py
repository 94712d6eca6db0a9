"""Makes certificates for tests of the channel."""

import datetime

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

PEM = serialization.Encoding.PEM
START = datetime.datetime(2020, 1, 1, tzinfo=datetime.timezone.utc)
END = datetime.datetime(2100, 1, 1, tzinfo=datetime.timezone.utc)


def name_of(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def sign(subject, issuer, key, signer, *, authority):
    builder = x509.CertificateBuilder(
        issuer_name=name_of(issuer),
        subject_name=name_of(subject),
        public_key=key.public_key(),
        serial_number=x509.random_serial_number(),
        not_valid_before=START,
        not_valid_after=END,
    )
    constraints = x509.BasicConstraints(ca=authority, path_length=None)
    builder = builder.add_extension(constraints, critical=True)
    return builder.sign(signer, hashes.SHA256())


def make_identities(folder, names):
    """Make an authority and one certificate for each name."""
    folder.mkdir()
    signer = ec.generate_private_key(ec.SECP256R1())
    top = sign("fleet", "fleet", signer, signer, authority=True)
    (folder / "authority.pem").write_bytes(top.public_bytes(PEM))
    for name in names:
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = sign(name, "fleet", key, signer, authority=False)
        (folder / f"{name}.pem").write_bytes(certificate.public_bytes(PEM))
        private = key.private_bytes(
            PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        (folder / f"{name}.key").write_bytes(private)
