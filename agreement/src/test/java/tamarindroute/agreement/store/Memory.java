package tamarindroute.agreement.store;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;

/** A disk in memory that loses, at a crash, what was not forced. */
public final class Memory implements Medium {

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    private byte[] forced = new byte[0];
    private int forces;

    /** After a crash: what was forced, and some of the bytes of what was not. */
    public Memory crashed(int more) {
        Memory after = new Memory();
        byte[] all = written.toByteArray();
        int keep = Math.min(all.length, forced.length + more);
        boolean grown = all.length >= forced.length;
        after.written.writeBytes(grown ? Arrays.copyOf(all, keep) : forced);
        after.forced = after.written.toByteArray();
        return after;
    }

    public int forces() {
        return forces;
    }

    @Override
    public byte[] read() {
        return written.toByteArray();
    }

    @Override
    public void append(byte[] bytes) {
        written.writeBytes(bytes);
    }

    @Override
    public void force() {
        forces++;
        forced = written.toByteArray();
    }

    @Override
    public void truncate(long length) {
        replace(Arrays.copyOf(written.toByteArray(), (int) length));
    }

    @Override
    public void replace(byte[] bytes) {
        written.reset();
        written.writeBytes(bytes);
        force();
    }

    @Override
    public void close() {
        // Nothing is held open.
    }
}
