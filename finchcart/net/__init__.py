"""The real node round the decision module: codecs, the reducer, sockets and threads."""
