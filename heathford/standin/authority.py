"""A stand-in authority: keys and certificates for tests and local deployments, for no other use."""

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
USAGES = {"server": ExtendedKeyUsageOID.SERVER_AUTH, "client": ExtendedKeyUsageOID.CLIENT_AUTH}


class Authority:
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
        """Certificate and key; bits: of an RSA key."""
        key: Any = rsa.generate_private_key(65537, bits) if bits else ec.generate_private_key(ec.SECP256R1())
        builder = (
            x509.CertificateBuilder()
            .issuer_name(self.name)
            .public_key(key.public_key())
            .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "test")]))
            .serial_number(x509.random_serial_number())
            .not_valid_before(begins)
            .not_valid_after(ends)
            .add_extension(x509.ExtendedKeyUsage([USAGES[usage]]), critical=False)
        )
        if names:
            builder = builder.add_extension(
                x509.SubjectAlternativeName([x509.DNSName(n) for n in names]), critical=False
            )
        certificate = builder.sign(self.key, hashes.SHA256())
        return certificate.public_bytes(Encoding.PEM), key.private_bytes(
            Encoding.PEM, PrivateFormat.PKCS8, NoEncryption()
        )


def write_key_files(folder: Path, pair: tuple[bytes, bytes], name: str = "front") -> tuple[str, str]:
    """Writes them; the names of the files."""
    (folder / f"{name}.pem").write_bytes(pair[0])
    (folder / f"{name}.key").write_bytes(pair[1])
    return f"{name}.pem", f"{name}.key"
