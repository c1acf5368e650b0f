"""Puts the story of one request together from the logs of several processes."""
