//! Each hop of a request has a span, which is exported by OTLP to a collector in the test.

mod support;

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use opentelemetry_proto::tonic::collector::trace::v1::ExportTraceServiceRequest;
use prost::Message;
use ringbend_playground::{Fleet, FleetConfig};
use ringbend_runtime::{Handler, HttpRequest, HttpResponse, ServerConfig, empty, read_body, serve};
use support::{block_on, call, call_with_key, set_everywhere, small_config, wait_until};

/// A span's name, trace id, span id and parent span id.
type SpanIds = (String, Vec<u8>, Vec<u8>, Vec<u8>);

#[derive(Default)]
struct Collector {
    spans: RefCell<Vec<SpanIds>>,
}

impl Handler for Collector {
    fn handle(self: Rc<Self>, mut req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        async move {
            let body = read_body(req.take_payload(), 1 << 20, Duration::from_secs(5)).await;
            let export = ExportTraceServiceRequest::decode(body.unwrap()).unwrap();
            for scope in export.resource_spans.into_iter().flat_map(|r| r.scope_spans) {
                for span in scope.spans {
                    let ids = (span.name, span.trace_id, span.span_id, span.parent_span_id);
                    self.spans.borrow_mut().push(ids);
                }
            }
            empty(StatusCode::OK)
        }
        .boxed_local()
    }
}

#[test]
fn each_hop_has_a_span_in_the_callers_trace() {
    block_on(async {
        let collector = Rc::new(Collector::default());
        let any_port = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let server = serve(any_port, ServerConfig::default(), collector.clone()).await.unwrap();
        let otlp_url = Some(format!("http://{}/v1/traces", server.address()).into());
        let fleet = Fleet::start(FleetConfig { otlp_url, ..small_config() }).await.unwrap();
        let to = fleet.instances[0].callers_address;
        let trace = "0af7651916cd43dd8448eb211c80319c";
        let traceparent = format!("00-{trace}-b7ad6b7169203331-01");
        let headers = [("traceparent", traceparent.as_str())];
        let body = "{\"model\": \"standin\", \"prompt\": \"x\", \"max_tokens\": 2}";
        assert_eq!(call(to, "/v1/completions", &headers, body).await.status, 200);
        assert_eq!(call_with_key(to, "traced").await.status, 200);
        set_everywhere(&fleet, "limits.weight", 7.into()).await;
        wait_until("the spans are exported", async || {
            let spans = collector.spans.borrow();
            let names: BTreeSet<&str> = spans.iter().map(|s| s.0.as_str()).collect();
            names.is_superset(&BTreeSet::from(["caller", "queue", "claim", "attempt", "peer"]))
        })
        .await;
        let spans = collector.spans.borrow();
        let hex = |id: &[u8]| id.iter().map(|b| format!("{b:02x}")).collect::<String>();
        let of_trace: Vec<_> = spans.iter().filter(|s| hex(&s.1) == trace).collect();
        let root = of_trace.iter().find(|s| s.0 == "caller").unwrap();
        assert_eq!(hex(&root.3), "b7ad6b7169203331");
        let attempt = of_trace.iter().find(|s| s.0 == "attempt").unwrap();
        assert_eq!(attempt.3, root.2);
    });
}
