"""A certificate authority for tests and local deployments only. Its keys protect nothing."""

from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

NOW = datetime.now(UTC).replace(microsecond=0)
DAY = timedelta(days=1)
EXTENDED_KEY_USAGES = {"server": ExtendedKeyUsageOID.SERVER_AUTH, "client": ExtendedKeyUsageOID.CLIENT_AUTH}


class Authority:
    """A self-signed root certificate, valid from `begins` to `ends`, that issues leaf certificates."""

    def __init__(self, begins: datetime = NOW - DAY, ends: datetime = NOW + 365 * DAY) -> None:
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "test authority")])
        self.certificate = (
            x509.CertificateBuilder()
            .subject_name(self.name)
            .issuer_name(self.name)
            .public_key(self.key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(begins)
            .not_valid_after(ends)
            .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
            .sign(self.key, hashes.SHA256())
        )
        self.pem = self.certificate.public_bytes(Encoding.PEM)

    def issue(
        self,
        names: tuple[str, ...] = ("localhost",),
        usage: str = "server",
        begins: datetime = NOW - DAY,
        ends: datetime = NOW + 90 * DAY,
        bits: int = 0,
    ) -> tuple[bytes, bytes]:
        """Return a new certificate and its private key, both in PEM.

        names: DNS names of the certificate. usage: a key of EXTENDED_KEY_USAGES. bits: size of an RSA key;
        0 makes a P-256 key instead.
        """
        key: Any = rsa.generate_private_key(65537, bits) if bits else ec.generate_private_key(ec.SECP256R1())
        builder = (
            x509.CertificateBuilder()
            .issuer_name(self.name)
            .public_key(key.public_key())
            .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "test")]))
            .serial_number(x509.random_serial_number())
            .not_valid_before(begins)
            .not_valid_after(ends)
            .add_extension(x509.ExtendedKeyUsage([EXTENDED_KEY_USAGES[usage]]), critical=False)
        )
        if names:
            builder = builder.add_extension(
                x509.SubjectAlternativeName([x509.DNSName(n) for n in names]), critical=False
            )
        certificate = builder.sign(self.key, hashes.SHA256())
        return certificate.public_bytes(Encoding.PEM), key.private_bytes(
            Encoding.PEM, PrivateFormat.PKCS8, NoEncryption()
        )


def write_key_files(
    folder: Path, certificate_and_key: tuple[bytes, bytes], name: str = "front"
) -> tuple[str, str]:
    """Write a certificate and its key into a folder and return the names of the two files."""
    (folder / f"{name}.pem").write_bytes(certificate_and_key[0])
    (folder / f"{name}.key").write_bytes(certificate_and_key[1])
    return f"{name}.pem", f"{name}.key"
