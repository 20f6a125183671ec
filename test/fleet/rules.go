package fleet

import (
	"fmt"

	"lagoongw/internal/state/rule"
)

// Teams of the rule file and their API tokens.
const (
	MillToken   = "mill-token"
	AdviceTeam  = "advice"
	MillTeam    = "mill"
	AdviceToken = "advice-token"
)

// Rules returns the text of the rule file of a fleet.
func Rules() string {
	return fmt.Sprintf(`# rules of the test fleet
team=mill token-sha256=%s # shift leads, asked for by the line
team=advice token-sha256=%s requests-per-second=200 # hobby shops, asked for by sales
rule=cut-orders team=mill service=orders method=POST class=cut-order tier=0 deadline=5s idempotent=no # lost panels, asked for by the line
rule=stock service=orders method=GET class=stock tier=1 deadline=5s idempotent=yes # asked for by planning
rule=changeover team=mill service=chat class=changeover tier=1 first-token=760ms between-tokens=35ms deadline=20s idempotent=yes # asked for by the shift lead
rule=general service=chat class=advice tier=5 deadline=60s idempotent=yes # asked for by sales
`, rule.HashToken(MillToken), rule.HashToken(AdviceToken))
}
