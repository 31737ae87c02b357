"""A router for language-model completions whose reading and writing run on separate servers."""
