package streamproxy.transport;

/** The machine has no thread, descriptor or memory for something that the process cannot serve without. */
public final class ResourceShortageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ResourceShortageException(String what, Throwable cause) { super(what, cause); }
}
