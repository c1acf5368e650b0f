"""Framed thrift messages between leadhollow processes."""
