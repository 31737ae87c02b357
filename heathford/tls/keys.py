"""Validate TLS keys and certificates, and decide when to replace them or warn of their expiry; no I/O.

PEM data is given as bytes, times as datetimes in UTC. A certificate and key that fail a check are not used,
and those in use stay. See RFC 5280 for validity and purposes, RFC 9525 (formerly RFC 6125) for names.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from enum import Enum
from itertools import pairwise

from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.hazmat.primitives.serialization import Encoding, PublicFormat, load_pem_private_key
from cryptography.x509.oid import ExtendedKeyUsageOID

MIN_RSA_BITS = 2048  # the minimum of NIST SP 800-57
MIN_CURVE_BITS = 224
EXPIRY_WARNING = timedelta(days=14)  # before a certificate expires: leaves working days to replace it
REMINDER_INTERVAL = timedelta(hours=1)  # between two log lines about the same problem
CLOCK_SKEW = timedelta(minutes=5)  # this clock may be behind that of the issuer of a new certificate


class Purpose(Enum):
    """What a certificate is used for: server or client authentication; the values are log texts."""

    SERVER = "to serve with"
    CLIENT = "to ask engines with"


EXTENDED_KEY_USAGES = {
    Purpose.SERVER: ExtendedKeyUsageOID.SERVER_AUTH,
    Purpose.CLIENT: ExtendedKeyUsageOID.CLIENT_AUTH,
}


@dataclass(frozen=True)
class Pem:
    """The contents of PEM files; empty where no file is named."""

    certificate: bytes = field(repr=False, default=b"")  # with its chain
    key: bytes = field(repr=False, default=b"")
    authority: bytes = field(repr=False, default=b"")  # the trusted authorities


def find_problems(pem: Pem, purpose: Purpose, now: datetime) -> list[tuple[str, str]]:
    """Return the problems, each with the field that it concerns; none if all of it may be used."""
    problems: list[tuple[str, str]] = []
    if pem.certificate or pem.key:
        problems += find_pair_problems(pem.certificate, pem.key, purpose, now)
    if pem.authority:
        problems += [("authority", problem) for problem in find_authority_problems(pem.authority, now)]
    return problems


def parse_certificates(data: bytes) -> list[x509.Certificate] | str:
    """Return the certificates, or the reason why they can't be parsed."""
    try:
        return x509.load_pem_x509_certificates(data)
    except ValueError as error:
        return f"no certificate in PEM: {error}"


def find_pair_problems(chain: bytes, key: bytes, purpose: Purpose, now: datetime) -> list[tuple[str, str]]:
    """Return the problems of a certificate with its chain, and its key, each with its field."""
    parsed = parse_certificates(chain)
    if isinstance(parsed, str):
        return [("certificate", parsed)]
    problems = [
        ("certificate", problem)
        for index, certificate in enumerate(parsed)
        for problem in find_validity_problems(certificate, index, now)
    ]
    leaf = parsed[0]
    problems += [("certificate", problem) for problem in find_purpose_problems(leaf, purpose)]
    for index, (certificate, issuer) in enumerate(pairwise(parsed)):
        try:
            certificate.verify_directly_issued_by(issuer)
        except (ValueError, TypeError, InvalidSignature):
            problems.append(
                ("certificate", f"{describe(certificate, index)} was not issued by the next in the file")
            )
    try:
        private = load_pem_private_key(key, None)
    except (ValueError, TypeError, UnsupportedAlgorithm) as error:
        return [*problems, ("key", f"no private key in PEM without a passphrase: {error}")]
    public = private.public_key()
    if isinstance(public, rsa.RSAPublicKey) and public.key_size < MIN_RSA_BITS:
        problems.append(("key", f"an RSA key of {public.key_size} bits; allowed are {MIN_RSA_BITS} and more"))
    if isinstance(public, ec.EllipticCurvePublicKey) and public.key_size < MIN_CURVE_BITS:
        problems.append(("key", f"a curve of {public.key_size} bits; allowed are {MIN_CURVE_BITS} and more"))
    if encode_public_key(public) != encode_public_key(leaf.public_key()):
        problems.append(("key", "not the key of the certificate"))
    return problems


def encode_public_key(public: object) -> bytes:
    """Return the key in DER, to compare keys."""
    return public.public_bytes(  # type: ignore[attr-defined, no-any-return]
        Encoding.DER, PublicFormat.SubjectPublicKeyInfo
    )


def describe(certificate: x509.Certificate, index: int) -> str:
    """Return the name of a certificate for messages: its number in the file and its subject."""
    return f"certificate {index + 1} ({certificate.subject.rfc4514_string() or 'no subject'})"


def find_validity_problems(cert: x509.Certificate, index: int, now: datetime) -> list[str]:
    """Return the problem if the certificate is not valid now."""
    if now + CLOCK_SKEW < cert.not_valid_before_utc:
        return [f"{describe(cert, index)} is valid only from {cert.not_valid_before_utc:%Y-%m-%d %H:%M} UTC"]
    if now >= cert.not_valid_after_utc:
        return [f"{describe(cert, index)} expired at {cert.not_valid_after_utc:%Y-%m-%d %H:%M} UTC"]
    return []


def find_purpose_problems(leaf: x509.Certificate, purpose: Purpose) -> list[str]:
    """Return the problems of a certificate's extensions for that purpose."""
    problems = []
    try:
        usages = leaf.extensions.get_extension_for_class(x509.ExtendedKeyUsage).value
        if (
            EXTENDED_KEY_USAGES[purpose] not in usages
            and ExtendedKeyUsageOID.ANY_EXTENDED_KEY_USAGE not in usages
        ):
            problems.append(f"not meant {purpose.value}: its extended key usage is another")
    except x509.ExtensionNotFound:
        pass  # without the extension a certificate may be used for any purpose
    if purpose is Purpose.SERVER:
        try:
            leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName)
        except x509.ExtensionNotFound:
            problems.append("names no host: clients look at subject alternative names alone")
    return problems


def find_authority_problems(data: bytes, now: datetime) -> list[str]:
    """Return the problems if no trusted authority is valid now, else none."""
    parsed = parse_certificates(data)
    if isinstance(parsed, str):
        return [parsed]
    problems = [
        problem
        for index, certificate in enumerate(parsed)
        for problem in find_validity_problems(certificate, index, now)
    ]
    # An expired authority beside its successor is usual.
    return problems if len(problems) >= len(parsed) else []


def expiry(pem: Pem) -> datetime | None:
    """Return the earliest expiry among the certificates of the chain; None without a certificate."""
    chain = parse_certificates(pem.certificate) if pem.certificate else []
    return None if isinstance(chain, str) or not chain else min(c.not_valid_after_utc for c in chain)


class Action(Enum):
    """What to do after the files have been checked; the values are log texts, except as noted."""

    NONE = "nothing"
    INSTALL = "new keys"  # not logged in these words
    REJECT = "new keys refused, the old ones stay"
    WARN_EXPIRING = "keys expire soon"
    WARN_EXPIRED = "keys have expired, and no new ones are there"


class KeyRotation:
    """Decides whether the present contents of the files replace the keys in use.

    If an operator installs a wrong, expired or half-written pair, the keys in use stay, and the problem is
    logged again every hour. This is harmful only if the keys in use are themselves the problem.
    """

    def __init__(self, purpose: Purpose) -> None:
        self.purpose = purpose
        self.in_use: Pem | None = None
        self.rejected: Pem | str | None = None  # rejected contents, or why they can't be read
        self.reported_at: dict[Action, datetime] = {}
        self.installations = 0

    def check(self, contents: Pem | str, now: datetime) -> tuple[Action, Sequence[str]]:
        """Return what to do, and why; NONE also where a warning or rejection was returned lately.

        contents: of the files, or why they can't be read. After INSTALL, call `mark_installed`.
        """
        if isinstance(contents, str):
            return self.reject(contents, [contents], now)
        if contents != self.in_use:
            problems = [f"{name}: {problem}" for name, problem in find_problems(contents, self.purpose, now)]
            return self.reject(contents, problems, now) if problems else (Action.INSTALL, [])
        self.rejected = None
        expires_at = expiry(contents)
        if expires_at is None or now < expires_at - EXPIRY_WARNING:
            return Action.NONE, []
        if now >= expires_at:
            return self.limit_rate(Action.WARN_EXPIRED, [f"since {expires_at:%Y-%m-%d %H:%M} UTC"], now)
        return self.limit_rate(Action.WARN_EXPIRING, [f"at {expires_at:%Y-%m-%d %H:%M} UTC"], now)

    def reject(
        self, contents: Pem | str, reasons: Sequence[str], now: datetime
    ) -> tuple[Action, Sequence[str]]:
        """Record that the contents must not be used; return what to do, and why."""
        if contents != self.rejected:
            self.reported_at.pop(Action.REJECT, None)
        self.rejected = contents
        return self.limit_rate(Action.REJECT, reasons, now)

    def limit_rate(
        self, action: Action, reasons: Sequence[str], now: datetime
    ) -> tuple[Action, Sequence[str]]:
        """Return the action, or NONE if it was returned less than REMINDER_INTERVAL ago."""
        if action in self.reported_at and now < self.reported_at[action] + REMINDER_INTERVAL:
            return Action.NONE, []
        self.reported_at[action] = now
        return action, reasons

    def mark_installed(self, pem: Pem) -> None:
        """Record that these keys are in use now."""
        self.in_use, self.rejected = pem, None
        self.reported_at.clear()
        self.installations += 1


def utc_now() -> datetime:
    """Return the present time in UTC."""
    return datetime.now(UTC)
