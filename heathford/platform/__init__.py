"""The front node on the platform: its HTTP protocol for clients and engines, and its process."""
