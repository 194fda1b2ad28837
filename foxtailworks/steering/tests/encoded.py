"""Encoded tables for tests."""

from foxtailworks import steering


def encode(table):
    """Return a table encoded as a whole."""
    encoder = steering.TableEncoder()
    encoder.put(table)
    return encoder.encode()
