package streamproxy.protocol;

/**
 * What of a client's request a replica is sent unchanged.
 *
 * @param idempotencyKey the value of {@code Idempotency-Key}, by which replicas drop repeats; null where the client sent none
 */
public record PassedOn(String method, String target, String id, String idempotencyKey, byte[] body) { }
