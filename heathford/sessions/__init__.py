"""WebSocket sessions (RFC 6455) with JSON-RPC 2.0 messages and bodies of the published completions API."""
