"""The platform's endpoint list: the calls that keep it current, and their clock."""
