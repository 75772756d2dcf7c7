"""A layer-4 load balancer whose nodes share no written state."""
