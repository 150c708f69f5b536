package tamarindroute.membership;

/**
 * One life of a process at an address. A later life has a greater birth; it is proposed by whoever
 * starts and raised past any that others remember there, so that no clock has to be right.
 */
public record Member(Address address, long incarnation) {

  @Override
  public String toString() {
    return address + "#" + incarnation;
  }
}
