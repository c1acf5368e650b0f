"""HTTP/1.1 client and server connections, built on the httptools parser."""
