"""Keys for TLS: checked before they are used, changed in service, and watched as they age."""
