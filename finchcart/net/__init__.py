"""Sockets, threads, buffers and limits of the real node, and the lines of worker pool, store and registry."""
