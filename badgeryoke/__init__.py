"""badgeryoke: a gateway on real sockets round the decision module in martenstep."""
