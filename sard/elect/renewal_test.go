package elect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHolderOutlastsOneRenewalWithoutAnswer guards against holders that stop to act because one renewal has no answer.
func TestHolderOutlastsOneRenewalWithoutAnswer(t *testing.T) {
	const slowAnswer = 50 * time.Millisecond
	next := DefaultTerm/renewalsPerTerm + callTimeout + retryInterval + slowAnswer
	assert.Assert(t, next < DefaultTerm*safePercent/100)
}
