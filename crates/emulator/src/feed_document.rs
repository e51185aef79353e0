//! Configurations of a growing number of versions, each of which changes one route.

/// Returns the configuration `version` with `routes` routes.
pub(crate) fn config_document(version: u64, routes: usize) -> Vec<u8> {
    let mut text = format!("{{\"version\":{version},\"routes\":[");
    for number in 0..routes as u64 {
        // The newest version that changed the route.
        let changes = (version + routes as u64 - number) / routes as u64;
        let timeout = 1500 + changes * 10;
        if number > 0 {
            text.push(',');
        }
        text += &format!(
            "{{\"name\":\"route-{number}\",\"host\":\"shop{host}.example\",\"prefix\":\"/p{number}/\",\"kind\":\"idempotent\",\
            \"timeoutMs\":{timeout},\"sloMs\":300,\"prio\":2,\"service\":\"orders-api\",\"attempts_max\":2,\"public\":false,\"resumable\":false}}",
            host = number % 17,
        );
    }
    text += "]}";
    text.into_bytes()
}
