"""Fuzzers: invalid WebSocket frames and handshakes for the sessions, and corrupted files for the store."""
