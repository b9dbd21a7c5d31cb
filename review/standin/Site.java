import java.util.List;

/** The configuration and the registry rows of a small deployment, as the pages show them. */
final class Site {
    static final String HOST = "ficu95.example";
    static final String KEY = "xd9dnn2ctnfzs989anu6";
    static final String TENANT = "huka270";
    static final String LLM = "bilberry-llm";
    static final String DESK = "slotdesk";
    static final String STREAM = "/lohu930/";
    static final String BOOK = "/pule252/";
    static final String LOOK = "/puxa403/";

    private Site() {}

    static String config(int version, List<String> keys) {
        String quoted = String.join(",", keys.stream().map(Json::text).toList());
        return "{\"version\":" + version + ",\"routes\":["
            + "{\"name\":\"r-digest\",\"host\":\"" + HOST + "\",\"prefix\":\"" + STREAM + "\","
            + "\"kind\":\"streaming\",\"timeout_ms\":25000,\"target_latency_ms\":4500,"
            + "\"priority\":1,\"service\":\"" + LLM + "\",\"max_attempts\":5,\"public\":false,"
            + "\"sticky\":true,\"resumable\":true,\"gap_target_ms\":700},"
            + "{\"name\":\"r-book\",\"host\":\"" + HOST + "\",\"prefix\":\"" + BOOK + "\","
            + "\"kind\":\"non_idempotent\",\"timeout_ms\":800,\"target_latency_ms\":300,"
            + "\"priority\":2,\"service\":\"" + DESK + "\",\"max_attempts\":1,\"public\":false},"
            + "{\"name\":\"r-look\",\"host\":\"" + HOST + "\",\"prefix\":\"" + LOOK + "\","
            + "\"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":300,"
            + "\"priority\":2,\"service\":\"" + DESK + "\",\"max_attempts\":2,\"public\":false}],"
            + "\"services\":[{\"name\":\"" + LLM + "\",\"health_path\":\"/health\","
            + "\"max_conns\":370,\"engine\":{\"slots\":64,\"kv_capacity\":55000,"
            + "\"backups\":true,\"models\":[{\"name\":\"m\"}]}},"
            + "{\"name\":\"" + DESK + "\",\"health_path\":\"/health\",\"max_conns\":110}],"
            + "\"tenants\":[{\"name\":\"" + TENANT + "\",\"priority\":1,\"api_keys\":["
            + quoted + "]}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    }

    static String server(String service, String address, int slots, String state, long born) {
        String models = service.equals(LLM)
            ? "\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]," : "";
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\","
            + "\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\""
            + state + "\",\"cold_remaining_ms\":0," + models + "\"born\":" + born + ",\"seq\":4}";
    }

    static String headers(String id, int deadlineMillis, String key) {
        return "Host: " + HOST + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + deadlineMillis
            + "\r\nAuthorization: Bearer " + key + "\r\n";
    }

    static String streamHeaders(String id, int deadlineMillis) {
        return headers(id, deadlineMillis, KEY)
            + "Model: m\r\nToken-Counts: 1000,700\r\nPrompt-Prefix: 5c1e07a2:200," + id + ":800\r\n";
    }
}
