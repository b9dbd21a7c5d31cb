/** Writes the few JSON texts that the stand-ins need. */
final class Json {
    private Json() {}

    static String text(String value) {
        return "\"" + value.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }
}
