package tamarindroute.net;

import org.apache.mina.transport.socket.SocketSessionConfig;

/** The socket options that all TCP connections share. */
final class SocketOptions {

  private SocketOptions() {}

  /** Sets the options of connections to caches; each read gets a full buffer of the pool. */
  static void configureOutbound(SocketSessionConfig config) {
    configure(config, BufferPool.BUFFER_BYTES);
  }

  /**
   * Sets the options of clients' connections. Their reads are small, so that a client that sends
   * many requests at once gives way to others after some thirty.
   */
  static void configureInbound(SocketSessionConfig config) {
    configure(config, BufferPool.CLIENT_READ_BYTES);
  }

  private static void configure(SocketSessionConfig config, int readBytes) {
    config.setTcpNoDelay(true);
    config.setMinReadBufferSize(readBytes);
    config.setReadBufferSize(readBytes);
    config.setMaxReadBufferSize(readBytes);
  }
}
