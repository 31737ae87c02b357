"""A request router for language-model serving with separate prefill and decode engines."""

__version__ = "0.2.0"
