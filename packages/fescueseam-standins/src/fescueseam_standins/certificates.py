"""Make the certificates of backend server stand-ins."""

import datetime

from attrs import frozen
from cryptography import x509
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.x509.oid import NameOID

CERTIFICATE_LIFETIME = datetime.timedelta(days=7)
CLOCK_SKEW_TOLERANCE = datetime.timedelta(hours=1)


@frozen
class Credentials:
    """Certificate and its private key."""

    certificate: x509.Certificate
    private_key: ec.EllipticCurvePrivateKey


def make_credentials(name: str) -> Credentials:
    """Make a self-signed certificate for a name."""
    private_key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(private_key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - CLOCK_SKEW_TOLERANCE)
        .not_valid_after(now + CERTIFICATE_LIFETIME)
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
        .sign(private_key, SHA256())
    )
    return Credentials(certificate, private_key)
