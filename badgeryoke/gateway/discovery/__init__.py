"""Service discovery: the client that keeps the endpoint list up to date."""
