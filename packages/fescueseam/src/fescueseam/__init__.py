"""Decision logic of a layer-4 load balancer, free of input and output."""

__version__ = "0.1.0"
