"""Creates the certificates and keys with which processes authenticate each other."""

import datetime
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from damaskvalve_core import OperatorError

AUTHORITY_FILE = "authority.pem"
AUTHORITY_KEY_FILE = "authority.key"
CERTIFICATE_LIFETIME_DAYS = 825
# Certificates are valid from this long before their issue.
_CLOCK_SKEW = datetime.timedelta(hours=1)


def _distinguished_name(common_name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common_name)])


def _write_private_file(path: Path, data: bytes) -> None:
    path.touch(mode=0o600, exist_ok=False)
    path.write_bytes(data)


def _key_bytes(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )


def _certificate_builder(
    subject: str,
    issuer: x509.Name,
    key: ec.EllipticCurvePrivateKey,
    issued_at: datetime.datetime,
) -> x509.CertificateBuilder:
    return (
        x509.CertificateBuilder()
        .subject_name(_distinguished_name(subject))
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(issued_at - _CLOCK_SKEW)
        .not_valid_after(issued_at + datetime.timedelta(days=CERTIFICATE_LIFETIME_DAYS))
    )


def make_authority(folder: Path, issued_at: datetime.datetime) -> None:
    """Create the certificate authority of a new fleet; refuse to replace one."""
    folder.mkdir(parents=True, exist_ok=True)
    if (folder / AUTHORITY_KEY_FILE).exists():
        raise OperatorError(f"{folder} already contains a certificate authority")
    key = ec.generate_private_key(ec.SECP256R1())
    constraints = x509.BasicConstraints(ca=True, path_length=0)
    certificate = (
        _certificate_builder(
            "damaskvalve fleet",
            _distinguished_name("damaskvalve fleet"),
            key,
            issued_at,
        )
        .add_extension(constraints, critical=True)
        .sign(key, hashes.SHA256())
    )
    _write_private_file(folder / AUTHORITY_KEY_FILE, _key_bytes(key))
    pem = certificate.public_bytes(serialization.Encoding.PEM)
    (folder / AUTHORITY_FILE).write_bytes(pem)


def make_identity(folder: Path, name: str, issued_at: datetime.datetime) -> None:
    """Create the key and certificate of one process, signed by the authority."""
    key_path = folder / AUTHORITY_KEY_FILE
    if not key_path.exists():
        raise OperatorError(
            f"{folder} contains no certificate authority; create one first"
        )
    authority_key = serialization.load_pem_private_key(key_path.read_bytes(), None)
    authority = x509.load_pem_x509_certificate((folder / AUTHORITY_FILE).read_bytes())
    if not isinstance(authority_key, ec.EllipticCurvePrivateKey):
        raise OperatorError(f"{key_path} is not the key of a certificate authority")
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = (
        _certificate_builder(name, authority.subject, key, issued_at)
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .sign(authority_key, hashes.SHA256())
    )
    _write_private_file(folder / f"{name}.key", _key_bytes(key))
    pem = certificate.public_bytes(serialization.Encoding.PEM)
    (folder / f"{name}.pem").write_bytes(pem)
