"""Stand-ins for the systems that heathford talks to, which are engines, the registry and discovery."""
