package tamarindroute.protocol;

/**
 * Decoded fields of a client's call.
 *
 * @param requestId 16 hexadecimal digits, new with every try
 * @param objectId 16 hexadecimal digits
 * @param idempotencyKey 32 hexadecimal digits, the same for all tries of one request; null if
 *     absent
 * @param clientCopyTag tag of the copy that the client holds, 16 hexadecimal digits; null if absent
 * @param budgetMillis time that the client waits for the whole response, above 0
 * @param part part of the object, from 0
 * @param purgeGroup group of the object, 0 to 255
 * @param kilobytes size of the part; 0 if unknown
 */
public record CallFields(
    String requestId,
    String objectId,
    String idempotencyKey,
    String clientCopyTag,
    double budgetMillis,
    int part,
    int purgeGroup,
    double kilobytes) {}
