"""Load TLS keys from the files that the script names, and renew the TLS contexts when they change."""

import asyncio
import ssl
from collections.abc import Callable
from pathlib import Path

import structlog

from heathford.script.script import LINES_FIELD, Declaration, Mistake, Script
from heathford.tls.keys import Action, KeyRotation, Pem, Purpose, find_problems, utc_now

POLL_INTERVAL = 2.0  # s between two checks for changes: one stat call for each file
ALPN_PROTOCOLS = ["http/1.1"]  # sessions begin as HTTP/1.1 too
VERIFY_MODES = {"none": ssl.CERT_NONE, "optional": ssl.CERT_OPTIONAL, "required": ssl.CERT_REQUIRED}

log = structlog.get_logger()


class KeyFiles:
    """The certificate, key and trusted authorities of one purpose, and the TLS context made of them.

    folder: the folder that the paths are relative to. clients: whether clients need a certificate: "none",
    "optional" or "required". changed: called with each new context.
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
        self.rotation = KeyRotation(purpose)
        self.file_stats: object = None  # of the files when they were last read
        self.context: ssl.SSLContext | None = None

    def read(self) -> Pem | str:
        """Return the contents of the files, or why they can't be read."""
        try:
            return Pem(*(path.read_bytes() if path else b"" for path in self.paths))
        except OSError as error:
            return f"can't be read: {error}"

    def make_context(self) -> ssl.SSLContext:
        """Return a TLS context made of the files. Raises ssl.SSLError and OSError."""
        is_server = self.purpose is Purpose.SERVER
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if is_server else ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(ALPN_PROTOCOLS)
        if is_server:
            # Resumption by a ticket would skip the check of the client's certificate against new authorities.
            context.num_tickets = 0
            context.options |= ssl.OP_NO_TICKET
            context.verify_mode = VERIFY_MODES[self.clients]
        certificate, key, authority = self.paths
        if certificate and key:
            context.load_cert_chain(certificate, key)
        if authority:
            context.load_verify_locations(authority)
        return context

    def reload(self) -> Action:
        """Check the files, and use their contents if they are new and valid."""
        contents = self.read()
        action, reasons = self.rotation.check(contents, utc_now())
        if action is Action.INSTALL and isinstance(contents, Pem):
            try:
                context = self.make_context()
            except (ssl.SSLError, OSError) as exc:
                action, reasons = self.rotation.reject(contents, [str(exc)], utc_now())
            else:
                if self.read() != contents:  # written meanwhile: the context may differ from what was checked
                    self.file_stats = None
                    return Action.NONE
                self.rotation.mark_installed(contents)
                self.context = context
                self.changed(context)
        if action in (Action.REJECT, Action.WARN_EXPIRED):
            log.error(action.value, use=self.purpose.value, files=self.names, why=list(reasons))
        elif action is Action.WARN_EXPIRING:
            log.warning(action.value, use=self.purpose.value, files=self.names, why=list(reasons))
        elif action is Action.INSTALL and self.rotation.installations > 1:
            log.info("new keys in use", use=self.purpose.value, files=self.names)
        return action

    @property
    def names(self) -> list[str]:
        """The paths of the files."""
        return [str(path) for path in self.paths if path]

    def stat(self) -> object:
        """Return a value that changes when a file changes."""
        try:
            return [(s.st_mtime_ns, s.st_size, s.st_ino) for s in (p.stat() for p in self.paths if p)]
        except OSError as error:
            return repr(error)

    async def watch(self) -> None:
        """Reload the files when they change, until cancelled.

        They are also reloaded at each check while their contents are rejected, and once a minute to check for
        expiry.
        """
        loop = asyncio.get_running_loop()
        read_at = loop.time()
        self.file_stats = self.stat()
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            file_stats = self.stat()
            if (
                file_stats != self.file_stats
                or self.rotation.rejected is not None
                or loop.time() - read_at > 60.0
            ):
                self.file_stats, read_at = file_stats, loop.time()
                self.reload()


def keys_from_script(script: Script, word: str) -> KeyFiles | None:
    """Return the keys that the script declares with that word, if it does."""
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
    """Return the problems of the keys that a script names, with the lines that name them."""
    mistakes = []
    for word in ("service_tls", "stand_in_tls", "engine_tls"):
        for declared in script.all(word):
            mistakes += [
                Mistake(
                    declared.file,
                    declared.values[LINES_FIELD].get(name, declared.line),
                    f"{word}: {name}: {problem}",
                )
                for name, problem in find_declared_problems(script, declared)
            ]
    return sorted(mistakes, key=lambda mistake: mistake.line)


def find_declared_problems(script: Script, declared: Declaration) -> list[tuple[str, str]]:
    """Return the problems of one declaration, each with the field that it concerns."""
    if bool(declared.certificate) != bool(declared.key):
        return [("certificate", "certificate and key go together: both or neither")]
    if declared.values.get("clients", "none") != "none" and not declared.authority:
        return [("authority", "is needed where certificates are asked of clients")]
    keys = keys_from_script(script, declared.function)
    assert keys
    data = []
    for name, path in zip(("certificate", "key", "authority"), keys.paths, strict=True):
        try:
            data.append(path.read_bytes() if path else b"")
        except OSError as error:
            return [(name, f"{path} can't be read: {error.strerror}")]
    problems = find_problems(Pem(*data), keys.purpose, utc_now())
    if not problems:
        try:
            keys.make_context()
        except (ssl.SSLError, OSError) as error:
            return [("certificate", f"can't be used: {error}")]
    return problems
