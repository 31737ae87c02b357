"""Follow the endpoint list of the platform's discovery service."""
