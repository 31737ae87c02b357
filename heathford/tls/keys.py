"""Which keys may be used, and what is done about those that change or age; no I/O.

PEM comes in as bytes, times as datetimes of UTC. A pair that fails a check is never used, and the one in
use stays; RFC 5280 for validity and purposes, RFC 6125 (9525) for names.
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

LEAST_RSA = 2048  # bits: what NIST SP 800-57 still allows
LEAST_CURVE = 224  # bits
WARN = timedelta(days=14)  # before a certificate ends: time for people to act on a working day
REMIND = timedelta(hours=1)  # between two complaints of the same thing: loud, but no flood
SKEW = timedelta(minutes=5)  # a clock may be behind the authority's: a fresh certificate must not be refused


class Purpose(Enum):
    SERVER = "to serve with"
    CLIENT = "to ask engines with"


PURPOSES = {Purpose.SERVER: ExtendedKeyUsageOID.SERVER_AUTH, Purpose.CLIENT: ExtendedKeyUsageOID.CLIENT_AUTH}


@dataclass(frozen=True)
class Pem:
    """What the files hold: a certificate with its chain, its key, and the authorities trusted; empty where
    none is named."""

    certificate: bytes = field(repr=False, default=b"")
    key: bytes = field(repr=False, default=b"")
    authority: bytes = field(repr=False, default=b"")


def faults(pem: Pem, purpose: Purpose, now: datetime) -> list[tuple[str, str]]:
    """What is wrong, each with the field it is about; empty where all may be used."""
    found: list[tuple[str, str]] = []
    if pem.certificate or pem.key:
        found += pair_faults(pem.certificate, pem.key, purpose, now)
    if pem.authority:
        found += [("authority", what) for what in authority_faults(pem.authority, now)]
    return found


def certificates(data: bytes) -> list[x509.Certificate] | str:
    try:
        return x509.load_pem_x509_certificates(data)
    except ValueError as problem:
        return f"no certificate in PEM: {problem}"


def pair_faults(chain: bytes, key: bytes, purpose: Purpose, now: datetime) -> list[tuple[str, str]]:
    found = certificates(chain)
    if isinstance(found, str):
        return [("certificate", found)]
    wrong = [("certificate", what) for place, one in enumerate(found) for what in age_faults(one, place, now)]
    leaf = found[0]
    wrong += [("certificate", what) for what in purpose_faults(leaf, purpose)]
    for place, (one, issuer) in enumerate(pairwise(found)):
        try:
            one.verify_directly_issued_by(issuer)
        except (ValueError, TypeError, InvalidSignature):
            wrong.append(("certificate", f"{name_of(one, place)} was not issued by the next in the file"))
    try:
        private = load_pem_private_key(key, None)
    except (ValueError, TypeError, UnsupportedAlgorithm) as problem:
        return [*wrong, ("key", f"no private key in PEM without a passphrase: {problem}")]
    public = private.public_key()
    if isinstance(public, rsa.RSAPublicKey) and public.key_size < LEAST_RSA:
        wrong.append(("key", f"an RSA key of {public.key_size} bits; allowed are {LEAST_RSA} and more"))
    if isinstance(public, ec.EllipticCurvePublicKey) and public.key_size < LEAST_CURVE:
        wrong.append(("key", f"a curve of {public.key_size} bits; allowed are {LEAST_CURVE} and more"))
    if raw(public) != raw(leaf.public_key()):
        wrong.append(("key", "not the key of the certificate"))
    return wrong


def raw(public: object) -> bytes:
    return public.public_bytes(  # type: ignore[attr-defined, no-any-return]
        Encoding.DER, PublicFormat.SubjectPublicKeyInfo
    )


def name_of(one: x509.Certificate, place: int) -> str:
    return f"certificate {place + 1} ({one.subject.rfc4514_string() or 'no subject'})"


def age_faults(one: x509.Certificate, place: int, now: datetime) -> list[str]:
    if now + SKEW < one.not_valid_before_utc:
        return [f"{name_of(one, place)} is valid only from {one.not_valid_before_utc:%Y-%m-%d %H:%M} UTC"]
    if now >= one.not_valid_after_utc:
        return [f"{name_of(one, place)} expired at {one.not_valid_after_utc:%Y-%m-%d %H:%M} UTC"]
    return []


def purpose_faults(leaf: x509.Certificate, purpose: Purpose) -> list[str]:
    found = []
    try:
        usages = leaf.extensions.get_extension_for_class(x509.ExtendedKeyUsage).value
        if PURPOSES[purpose] not in usages and ExtendedKeyUsageOID.ANY_EXTENDED_KEY_USAGE not in usages:
            found.append(f"not meant {purpose.value}: its extended key usage is another")
    except x509.ExtensionNotFound:
        pass  # good for all
    if purpose is Purpose.SERVER:
        try:
            leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName)
        except x509.ExtensionNotFound:
            found.append("names no host: clients look at subject alternative names alone")
    return found


def authority_faults(data: bytes, now: datetime) -> list[str]:
    found = certificates(data)
    if isinstance(found, str):
        return [found]
    wrong = [what for place, one in enumerate(found) for what in age_faults(one, place, now)]
    return wrong if len(wrong) >= len(found) else []  # an old authority beside its successor is usual


def ends(pem: Pem) -> datetime | None:
    """When the first of its certificates expires."""
    chain = certificates(pem.certificate) if pem.certificate else []
    return None if isinstance(chain, str) or not chain else min(c.not_valid_after_utc for c in chain)


class Step(Enum):
    NOTHING = "nothing"
    TAKE = "new keys"
    REFUSE = "new keys refused, the old ones stay"
    AGEING = "keys expire soon"
    EXPIRED = "keys have expired, and no new ones are there"


class Turnover:
    """What is in use, and what to do about what the files hold now.

    Guards against an operator who copies a wrong, old or half-written pair at night: the old one goes on
    serving, and it is said again every hour. Could harm only where the old one is itself the trouble.
    """

    def __init__(self, purpose: Purpose) -> None:
        self.purpose = purpose
        self.used: Pem | None = None
        self.refused: Pem | str | None = None
        self.said: dict[Step, datetime] = {}
        self.taken = 0  # times that keys were taken

    def look(self, found: Pem | str, now: datetime) -> tuple[Step, Sequence[str]]:
        """found: what the files hold, or why they can't be read. TAKE: use it, and say so by take()."""
        if isinstance(found, str):
            return self.refuse(found, [found], now)
        if found != self.used:
            wrong = [f"{name}: {what}" for name, what in faults(found, self.purpose, now)]
            return self.refuse(found, wrong, now) if wrong else (Step.TAKE, [])
        self.refused = None
        until = ends(found)
        if until is None or now < until - WARN:
            return Step.NOTHING, []
        if now >= until:
            return self.once(Step.EXPIRED, [f"since {until:%Y-%m-%d %H:%M} UTC"], now)
        return self.once(Step.AGEING, [f"at {until:%Y-%m-%d %H:%M} UTC"], now)

    def refuse(self, found: Pem | str, why: Sequence[str], now: datetime) -> tuple[Step, Sequence[str]]:
        if found != self.refused:
            self.said.pop(Step.REFUSE, None)
        self.refused = found
        return self.once(Step.REFUSE, why, now)

    def once(self, step: Step, why: Sequence[str], now: datetime) -> tuple[Step, Sequence[str]]:
        """Says it now, unless it was said of late."""
        if step in self.said and now < self.said[step] + REMIND:
            return Step.NOTHING, []
        self.said[step] = now
        return step, why

    def take(self, pem: Pem) -> None:
        self.used, self.refused = pem, None
        self.said.clear()
        self.taken += 1


def utc() -> datetime:
    return datetime.now(UTC)
