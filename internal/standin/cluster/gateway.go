package cluster

import "encoding/json"

// GatewayConfig is a configuration for a gateway before this cluster, with the classes and customers of the ski
// fields. memoryMB and sockets are its limits.
func (c *Cluster) GatewayConfig(name, listen string, memoryMB, sockets int) []byte {
	us := func(ms int) int { return ms * 1000 }
	class := func(name, effect string, aim, deadline int, value, late float64) map[string]any {
		return map[string]any{"Name": name, "Effect": effect, "KeyScope": "all", "AimUs": us(aim), "DeadlineUs": us(deadline),
			"WindowUs": us(2000), "Value": value, "LateValue": late}
	}
	tenant := func(name string, part float64) map[string]any {
		return map[string]any{"Name": name, "Fraction": part, "QuotaRps": 100000 * part}
	}
	conf := map[string]any{"name": name, "listen": listen, "discovery": c.Discovery(), "seed": "0123456789abcdef",
		"limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": sockets}, "known": c.List(),
		"settings": map[string]any{"Instances": 1, "Me": 0, "Zone": "a", "Discovery": "ask",
			"Allowed": map[string]any{"ConnectTimeoutUs": us(250), "IdleCloseUs": us(15000), "MaxRetryAfterUs": us(500), "MayCancel": true,
				"Probes": true, "RetryAfter": true, "TryLimit": 6},
			"ClientHabits": map[string]any{"MarksRetry": true},
			"FamilyInfo": map[string]any{"AnswersStamped": true, "ClassBoundUs": []int{us(3000), 0, 0, 0, 0},
				"Consistency": []string{"bounded", "session", "any", "fresh", "write"}, "ServerChecks": "off", "SessionMarks": "remembered"},
			"Feedback": map[string]any{"How": "on_probe", "Names": []string{"x0", "x1", "queue", "inflight"}},
			"Grades": []any{class("map-tiles", "repeatable", 750, 2500, 2, 0), class("my-notes", "repeatable", 400, 1500, 3, 0.2),
				class("field-info", "repeatable", 750, 3000, 3, 0), class("run-status", "repeatable", 300, 750, 1, 0),
				class("map-edits", "by_key", 1000, 3000, 4, 0.5)},
			"Rules":   map[string]any{"ColdShare": 0.24, "ColdUs": us(18000), "FallMultiple": 2.5, "OverloadForUs": us(1000), "StopSendingWithinUs": us(250)},
			"Tenants": []any{tenant("kea-basin", 0.44), tenant("tussock-peak", 0.34), tenant("red-saddle", 0.22)}}}
	text, err := json.MarshalIndent(conf, "", "  ")
	if err != nil {
		panic(err) // plain maps of plain values
	}
	return text
}
