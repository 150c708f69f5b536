/**
 * Codecs of the gateway's wire formats, free of I/O.
 *
 * <p>{@link tamarindroute.protocol.ClientProtocol} and {@link tamarindroute.protocol.CacheProtocol}
 * are the only places that know how the client and the cache protocol spell their commands,
 * statuses and fields; both stand on RESP arrays ({@link tamarindroute.protocol.RespReader}, {@link
 * tamarindroute.protocol.RespWriter}) and field lists ({@link tamarindroute.protocol.FieldList}).
 * {@link tamarindroute.protocol.HttpResponseReader} reads the control feed's responses, {@link
 * tamarindroute.protocol.MessageAuthenticator} seals datagrams between peers. Decoded messages use
 * the terms of {@code decision}; {@code net} moves the bytes, {@code gateway} gives them meaning.
 */
package tamarindroute.protocol;
