"""badgeryoke: a gateway on real sockets that keeps prepaid-load resellers to their quotas."""
