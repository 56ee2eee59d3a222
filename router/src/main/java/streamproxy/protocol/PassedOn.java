package streamproxy.protocol;

/** What of a client's request a model box is sent unchanged. */
public record PassedOn(String method, String target, String id, byte[] body) { }
