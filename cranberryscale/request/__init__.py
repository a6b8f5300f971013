"""The request path: admission, forwarding and delivery of a request."""
