package tamarindroute.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import tamarindroute.decision.LoadReport;

/** Fields of a cache's response, as they stand on the wire. */
class CacheResponseTest {

  private static CacheResponse response(String fields) throws MalformedMessageException {
    return CacheProtocol.decodeResponse(List.of("7", "ACK", fields));
  }

  @Test
  void missingStatusIsUnknownAndMissingFieldsAreNone() throws Exception {
    for (List<String> arguments : List.of(List.of("7"), List.of("7", ""), List.of("7", "ok"))) {
      CacheResponse response = CacheProtocol.decodeResponse(arguments);
      assertThat(response.status()).isEqualTo(CacheStatus.UNKNOWN);
      assertThat(response.isHealthy()).isFalse();
      assertThat(response.copyTag()).isNull();
    }
    assertThatThrownBy(() -> response("x")).isInstanceOf(MalformedMessageException.class);
  }

  @Test
  void loadReportIsDecoded() throws Exception {
    assertThat(response("first=3,rep=util:0.25;inflight:7").loadReport())
        .contains(new LoadReport(0.25, 7));
    assertThat(response("rep=utilization:2;outstanding:1e3").loadReport())
        .contains(new LoadReport(2, 1000));
    assertThat(response("rep=inflight:7").loadReport()).contains(new LoadReport(Double.NaN, 7));
    assertThat(response("rep=other:7").loadReport()).isEmpty();
    assertThat(response("-").loadReport()).isEmpty();
    for (String malformed :
        List.of("rep=util:101", "rep=util:-1", "rep=inflight:2e6", "rep=util", "rep=util:x")) {
      CacheResponse response = response(malformed);
      assertThatThrownBy(response::loadReport)
          .as(malformed)
          .isInstanceOf(MalformedMessageException.class);
    }
  }
}
