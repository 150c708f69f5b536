package tamarindroute.net;

import org.apache.mina.transport.socket.SocketSessionConfig;

/** The socket options that all TCP connections share. */
final class SocketOptions {

  private SocketOptions() {}

  /** Sets the options; each read gets one buffer of the pool. */
  static void configure(SocketSessionConfig config) {
    config.setTcpNoDelay(true);
    config.setMinReadBufferSize(BufferPool.BUFFER_BYTES);
    config.setReadBufferSize(BufferPool.BUFFER_BYTES);
    config.setMaxReadBufferSize(BufferPool.BUFFER_BYTES);
  }
}
