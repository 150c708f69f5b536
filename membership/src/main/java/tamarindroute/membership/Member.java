package tamarindroute.membership;

/**
 * One incarnation of a process at an address.
 *
 * @param address where the process is reached
 * @param incarnation greater for each restart at the address; a starting process proposes one and
 *     raises it past any that others remember, so no clock has to be right
 */
public record Member(Address address, long incarnation) {

  @Override
  public String toString() {
    return address + "#" + incarnation;
  }
}
