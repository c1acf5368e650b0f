"""The ``leadhollow`` command line."""
