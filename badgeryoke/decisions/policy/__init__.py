"""The decision policy: request handling, load balancing and customer quotas."""
