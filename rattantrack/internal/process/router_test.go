package process

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
)

func section(name, state string) Section { return Section{Name: name, State: json.RawMessage(state)} }

func TestRouterStatus(t *testing.T) {
	c := qt.New(t)
	c.Assert(Router([]Section{section("door", `{}`)}), qt.IsNil)
	s := Router([]Section{
		section("directory", `{"era":2}`),
		section("members", `[{"id":"i-1","era":3},{"id":"i-2","era":3,"draining":true}]`),
		section("pauses", `[{"id":"i-1","left_ms":1200}]`),
	})
	c.Assert(s.String(), qt.Equals, "router, era 3, leaving i-2, paused i-1")
	s = Router([]Section{
		section("directory", `{"era":2}`), section("members", `null`),
		section("work", `{"prompt_tokens":8200,"events":410,"estimate_spread":1.52,"stated_speeds":{"upstreams":47,"slow":6}}`),
	})
	c.Assert(s.String(), qt.Equals, "router, era 2, work 8200 tokens 410 events, estimates within 1.5, slow 6 of 47")
	s = Router([]Section{section("directory", `{"era":1}`), section("members", `null`), section("pauses", `null`)})
	c.Assert(s.String(), qt.Equals, "router, era 1")
}
