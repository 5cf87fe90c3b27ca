"""badgeryoke: a gateway (proxy) that keeps prepaid-load resellers to their quotas."""
