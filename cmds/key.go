package cmds

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/spf13/cobra"

	"rhubarbdrift.example/model"
)

// keyBytes is the number of random bytes in a key, which is 256 bits.
const keyBytes = 32

func newKey() *cobra.Command {
	return &cobra.Command{
		Use:   "key",
		Short: "Generate a random key and its digest",
		Long: `key prints a new random key and its SHA-256 digest. The key is for the caller
or operator and is shown only once; edits and settings contain only the digest.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			raw := make([]byte, keyBytes)
			if _, err := rand.Read(raw); err != nil {
				return err
			}
			key := base64.RawURLEncoding.EncodeToString(raw)
			_, err := fmt.Fprintf(c.OutOrStdout(), "key=%s\ndigest=%s\n", key, model.DigestOf([]byte(key)))
			return err
		},
	}
}
