"""The platform's front node: its protocol as one more way in and out of the same core."""
