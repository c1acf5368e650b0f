"""HTTP/1.1 connections on the parser of the httptools library, for callers and backend servers."""
