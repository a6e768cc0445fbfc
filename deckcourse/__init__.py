"""deckcourse: a router for language-model pipelines over mixed, borrowed accelerators."""

__all__ = ["__version__"]

__version__ = "0.1.0"
