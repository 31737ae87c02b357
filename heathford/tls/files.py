"""Reads keys from the files that the script names, and makes and renews the TLS contexts made of them."""

import asyncio
import ssl
from collections.abc import Callable
from pathlib import Path

import structlog

from heathford.script.script import LINES, Declared, Mistake, Script
from heathford.tls.keys import Pem, Purpose, Step, Turnover, faults, utc

LOOK = 2.0  # s between two looks at the files: one stat each
ALPN_PROTOCOLS = ["http/1.1"]  # for ALPN: all that is spoken here, sessions included
NEEDED = {"none": ssl.CERT_NONE, "optional": ssl.CERT_OPTIONAL, "required": ssl.CERT_REQUIRED}

log = structlog.get_logger()


class KeyFiles:
    """The keys of one purpose. changed: gets each new context.

    folder: what the paths are relative to. clients: whether certificates are asked of clients.
    """

    def __init__(
        self,
        folder: Path,
        purpose: Purpose,
        certificate: str = "",
        key: str = "",
        authority: str = "",
        clients: str = "none",
        changed: Callable[[ssl.SSLContext], None] = lambda context: None,
    ) -> None:
        self.paths = [folder / name if name else None for name in (certificate, key, authority)]
        self.purpose, self.clients, self.changed = purpose, clients, changed
        self.turnover = Turnover(purpose)
        self.marks: object = None  # of the files when they were last read
        self.context: ssl.SSLContext | None = None

    def read(self) -> Pem | str:
        try:
            return Pem(*(path.read_bytes() if path else b"" for path in self.paths))
        except OSError as problem:
            return f"can't be read: {problem}"

    def made(self) -> ssl.SSLContext:
        """Raises ssl.SSLError or OSError."""
        serving = self.purpose is Purpose.SERVER
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if serving else ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(ALPN_PROTOCOLS)
        if serving:
            # A session resumed by a ticket would outlive what its client's certificate was checked against.
            context.num_tickets = 0
            context.options |= ssl.OP_NO_TICKET
            context.verify_mode = NEEDED[self.clients]
        certificate, key, authority = self.paths
        if certificate and key:
            context.load_cert_chain(certificate, key)
        if authority:
            context.load_verify_locations(authority)
        return context

    def reload(self) -> Step:
        """Takes what the files hold now, if it is new and good."""
        found = self.read()
        step, why = self.turnover.look(found, utc())
        if step is Step.TAKE and isinstance(found, Pem):
            try:
                context = self.made()
            except (ssl.SSLError, OSError) as problem:
                step, why = self.turnover.refuse(found, [str(problem)], utc())
            else:
                if self.read() != found:  # written while it was read: what was made of it was never checked
                    self.marks = None
                    return Step.NOTHING
                self.turnover.take(found)
                self.context = context
                self.changed(context)
        if step in (Step.REFUSE, Step.EXPIRED):
            log.error(step.value, use=self.purpose.value, files=self.names, why=list(why))
        elif step is Step.AGEING:
            log.warning(step.value, use=self.purpose.value, files=self.names, why=list(why))
        elif step is Step.TAKE and self.turnover.taken > 1:
            log.info("new keys in use", use=self.purpose.value, files=self.names)
        return step

    @property
    def names(self) -> list[str]:
        return [str(path) for path in self.paths if path]

    def stat(self) -> object:
        try:
            return [(s.st_mtime_ns, s.st_size, s.st_ino) for s in (p.stat() for p in self.paths if p)]
        except OSError as problem:
            return repr(problem)

    async def watch(self) -> None:
        """Looks for ever: at once where a file has changed, else now and then for its age."""
        loop = asyncio.get_running_loop()
        read_at = loop.time()
        self.marks = self.stat()
        while True:
            await asyncio.sleep(LOOK)
            marks = self.stat()
            if marks != self.marks or self.turnover.refused is not None or loop.time() - read_at > 60.0:
                self.marks, read_at = marks, loop.time()
                self.reload()


def keys_from_script(script: Script, word: str) -> KeyFiles | None:
    """Those that the script declares by that word."""
    calls = script.all(word)
    if not calls:
        return None
    declared, folder = calls[0], script.path.parent
    if word == "engine_tls":
        return KeyFiles(folder, Purpose.CLIENT, declared.certificate, declared.key, declared.authority)
    return KeyFiles(
        folder, Purpose.SERVER, declared.certificate, declared.key, declared.authority, declared.clients
    )


def find_key_errors(script: Script) -> list[Mistake]:
    """What is wrong with the keys that a script names, at the lines that name them."""
    found = []
    for word in ("service_tls", "stand_in_tls", "engine_tls"):
        for declared in script.all(word):
            found += [
                Mistake(
                    declared.file, declared.values[LINES].get(name, declared.line), f"{word}: {name}: {what}"
                )
                for name, what in declared_faults(script, declared)
            ]
    return sorted(found, key=lambda m: m.line)


def declared_faults(script: Script, declared: Declared) -> list[tuple[str, str]]:
    if bool(declared.certificate) != bool(declared.key):
        return [("certificate", "certificate and key go together: both or neither")]
    if declared.values.get("clients", "none") != "none" and not declared.authority:
        return [("authority", "is needed where certificates are asked of clients")]
    keys = keys_from_script(script, declared.word)
    assert keys
    data = []
    for name, path in zip(("certificate", "key", "authority"), keys.paths, strict=True):
        try:
            data.append(path.read_bytes() if path else b"")
        except OSError as problem:
            return [(name, f"{path} can't be read: {problem.strerror}")]
    wrong = faults(Pem(*data), keys.purpose, utc())
    if not wrong:
        try:
            keys.made()
        except (ssl.SSLError, OSError) as problem:
            return [("certificate", f"can't be used: {problem}")]
    return wrong
